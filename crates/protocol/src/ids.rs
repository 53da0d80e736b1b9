//! Newtypes for identities, times and amounts.
use borsh::{BorshDeserialize, BorshSerialize};
use std::ops::{Add, Sub};
use std::rc::Rc;
use std::{fmt, io};

/// Whole microseconds: a point on a node's steady clock, or a span.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct Micros(pub u64);

impl Micros {
    /// A span of whole milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Micros(ms * 1_000)
    }
    /// A span of whole seconds.
    pub const fn secs(s: u64) -> Self {
        Micros(s * 1_000_000)
    }
    /// A span given in decimal seconds; negative and absurd values are clamped.
    pub fn from_secs_f64(s: f64) -> Self {
        Micros((s.clamp(0.0, 1e9) * 1e6) as u64)
    }
    /// The span in decimal seconds, for display and arithmetic on prices.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// How long ago `earlier` was, zero if it lies ahead.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
    /// `self` times `num / den`.
    pub fn scale(self, num: u64, den: u64) -> Micros {
        Micros((self.0 as u128 * num as u128 / den.max(1) as u128) as u64)
    }
}
impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, o: Micros) -> Micros {
        Micros(self.0.saturating_sub(o.0))
    }
}

/// A job's number; users write it `j-000412`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct JobId(pub u64);

/// Ids from here on are given by the service itself, to jobs that came in
/// another form. No user can submit one: theirs have at most 18 digits.
pub const OWN_IDS: u64 = 1_000_000_000_000_000_000;

impl JobId {
    /// Reads the written form. Only the canonical spelling is an id, so that
    /// two different texts never name one job.
    pub fn parse(s: &str) -> Option<Self> {
        let digits = s.strip_prefix("j-")?;
        if digits.len() < 6 || digits.len() > 20 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        if digits.len() > 6 && digits.starts_with('0') {
            return None;
        }
        digits.parse().ok().map(JobId)
    }
    /// Reads an id that a user chose.
    pub fn of_user(s: &str) -> Option<Self> {
        JobId::parse(s).filter(|id| !id.own())
    }
    /// Whether the service gave it.
    pub fn own(self) -> bool {
        self.0 >= OWN_IDS
    }
}
impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:06}", self.0)
    }
}

/// One task (or replica) of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Numbered from 0.
    pub index: u32,
}
impl TaskId {
    /// Reads the workers' form, `j-000412/3`.
    pub fn parse(s: &str) -> Option<Self> {
        let (job, index) = s.split_once('/')?;
        Some(TaskId { job: JobId::parse(job)?, index: index.parse().ok()? })
    }
}
impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The name the cloud gave a machine. The cloud never uses one twice. Names are
/// passed about much more often than made, so a copy shares the text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(Rc<str>);
impl MachineId {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
impl From<&str> for MachineId {
    fn from(name: &str) -> Self {
        MachineId(name.into())
    }
}
impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl BorshSerialize for MachineId {
    fn serialize<W: io::Write>(&self, w: &mut W) -> io::Result<()> {
        self.as_str().serialize(w)
    }
}
impl BorshDeserialize for MachineId {
    fn deserialize_reader<R: io::Read>(r: &mut R) -> io::Result<Self> {
        Ok(MachineId(String::deserialize_reader(r)?.into()))
    }
}

/// A controller, by its place in the sorted list of all controllers' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct NodeId(pub u8);

/// The worker-facing token: the term in the high bits, below it a number that
/// the leader of that term counts up. Attempts are drawn from the same count,
/// so "granted before this hand-out" is a comparison.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct Baton(pub u64);

/// Bits below the term in tokens and attempts.
pub const EPOCH_BITS: u32 = 28;

impl Baton {
    /// Builds a token of `term`.
    pub fn new(term: u64, epoch: u64) -> Self {
        Baton((term << EPOCH_BITS) | epoch)
    }
    /// The term it belongs to.
    pub fn term(self) -> u64 {
        self.0 >> EPOCH_BITS
    }
}

/// An attempt at a task: drawn by the leader from the count that gives tokens,
/// so it is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct Attempt(pub u64);

/// An amount of a machine, in thousandths; what is needed is rounded up and
/// what is there is rounded down, so that sums never overfill a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpu: u64,
    /// Thousandths of a GPU.
    pub gpu: u64,
    /// Thousandths of a GB.
    pub mem: u64,
}
impl Resources {
    /// What a task needs.
    pub fn need(cpus: f64, gpus: f64, mem: f64) -> Self {
        let up = |v: f64| (v * 1000.0 - 1e-6).ceil().max(0.0) as u64;
        Resources { cpu: up(cpus), gpu: up(gpus), mem: up(mem) }
    }
    /// What a machine has.
    pub fn have(cpus: f64, gpus: f64, mem: f64) -> Self {
        let down = |v: f64| (v * 1000.0 + 1e-6).floor().max(0.0) as u64;
        Resources { cpu: down(cpus), gpu: down(gpus), mem: down(mem) }
    }
    /// Whether `need` fits.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.gpu <= self.gpu && need.mem <= self.mem
    }
    /// Adds.
    pub fn plus(self, o: Resources) -> Self {
        Resources { cpu: self.cpu + o.cpu, gpu: self.gpu + o.gpu, mem: self.mem + o.mem }
    }
    /// Subtracts, stopping at zero.
    pub fn minus(self, o: Resources) -> Self {
        Resources {
            cpu: self.cpu.saturating_sub(o.cpu),
            gpu: self.gpu.saturating_sub(o.gpu),
            mem: self.mem.saturating_sub(o.mem),
        }
    }
    /// How many of `need` fit, at most `cap`.
    pub fn count(&self, need: &Resources, cap: u64) -> u64 {
        let per = |have: u64, n: u64| have.checked_div(n).unwrap_or(cap);
        per(self.cpu, need.cpu).min(per(self.gpu, need.gpu)).min(per(self.mem, need.mem)).min(cap)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_canonical_job_ids_parse() {
        let cases = [
            ("j-000412", Some(412)),
            ("j-1234567", Some(1_234_567)),
            ("j-0001234", None),
            ("j-412", None),
            ("j-00041x", None),
            ("k-000412", None),
            ("j--00412", None),
            ("j-+00412", None),
            ("", None),
            ("j-999999999999999999", Some(999_999_999_999_999_999)),
            ("j-18446744073709551615", Some(u64::MAX)),
            ("j-18446744073709551616", None),
            ("j-100000000000000000000", None),
        ];
        for (text, want) in cases {
            assert_eq!(JobId::parse(text).map(|j| j.0), want, "{text}");
            if let Some(id) = JobId::parse(text) {
                assert_eq!(id.to_string(), text);
            }
        }
    }

    #[test]
    fn no_user_names_one_of_the_services_own_ids() {
        for (text, user) in [
            ("j-000412", true),
            ("j-999999999999999999", true),
            ("j-1000000000000000000", false),
            ("j-18446744073709551615", false),
        ] {
            assert_eq!(
                (JobId::of_user(text).is_some(), JobId::parse(text).is_some()),
                (user, true),
                "{text}"
            );
        }
    }

    #[test]
    fn needs_round_up_and_machines_round_down() {
        assert_eq!(Resources::need(4.0, 0.0, 5.3).mem, 5300);
        assert_eq!(Resources::need(0.0001, 0.0, 0.0).cpu, 1);
        assert_eq!(Resources::have(3.9999, 0.0, 8.0).cpu, 3999);
    }
}
