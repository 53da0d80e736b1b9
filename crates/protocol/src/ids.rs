//! Newtypes for ids, times and resource amounts.
use borsh::{BorshDeserialize, BorshSerialize};
use std::ops::Add;
use std::rc::Rc;
use std::{fmt, io};

/// Whole microseconds: a point on a controller's monotonic clock, or a duration.
///
/// A process's clock starts near zero, so an age that comes from another process or from a wall clock
/// may reach back to before it, where no `Micros` is. There is no `-`: a caller says what is meant.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct Micros(pub u64);

impl Micros {
    /// A duration of whole milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Micros(ms * 1_000)
    }
    /// A duration of whole seconds.
    pub const fn secs(s: u64) -> Self {
        Micros(s * 1_000_000)
    }
    /// A duration given in decimal seconds, clamped to 0 to 1e9 seconds.
    pub fn from_secs_f64(s: f64) -> Self {
        Micros((s.clamp(0.0, 1e9) * 1e6) as u64)
    }
    /// The duration in decimal seconds, for display and arithmetic on prices.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
    /// The point in time that is `age` before this one; `None` if it lies before the clock's zero.
    pub fn before(self, age: Micros) -> Option<Micros> {
        self.0.checked_sub(age.0).map(Micros)
    }
    /// The difference of two durations; zero if `other` is the longer one.
    pub fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
    /// Multiplies by the fraction `num / den`; a zero `den` counts as 1.
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

/// Number of a job; its text form is `j-000412`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct JobId(pub u64);

/// Lowest id that the service generates itself, for jobs that an extension
/// translates from another format. Users can't submit such an id: theirs have
/// at most 18 digits.
pub const MIN_INTERNAL_JOB_ID: u64 = 1_000_000_000_000_000_000;

impl JobId {
    /// Parses the text form. Only the canonical spelling is an id, so that two
    /// different texts never name the same job.
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
    /// Parses an id that a user may submit: any but those that the service generates.
    pub fn parse_user_id(s: &str) -> Option<Self> {
        JobId::parse(s).filter(|id| !id.is_internal())
    }
    /// Whether the service generated the id.
    pub fn is_internal(self) -> bool {
        self.0 >= MIN_INTERNAL_JOB_ID
    }
}
impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:06}", self.0)
    }
}

/// One task of a job; for a service, one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index within the job, from 0.
    pub index: u32,
}
impl TaskId {
    /// Parses the text form that workers use, `j-000412/3`.
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

/// Name that the cloud gave a machine; the cloud never reuses one. Ids are
/// cloned much more often than created, so clones share the text.
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

/// Identifies a controller by its index in the sorted list of all controllers' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct NodeId(pub u8);

/// Fencing token presented to workers: the term in the high bits, and below it
/// a sequence number that the leader of that term increments. Attempt ids are
/// drawn from the same sequence, so comparing the two tells whether a token
/// was granted before an assignment.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct FencingToken(pub u64);

/// Bits below the term in fencing tokens and attempt ids.
pub const TOKEN_SEQUENCE_BITS: u32 = 28;

impl FencingToken {
    /// Creates the token of `term` with a sequence number.
    pub fn new(term: u64, epoch: u64) -> Self {
        FencingToken((term << TOKEN_SEQUENCE_BITS) | epoch)
    }
    /// Term of the leader that granted the token.
    pub fn term(self) -> u64 {
        self.0 >> TOKEN_SEQUENCE_BITS
    }
}

/// Id of an attempt at a task. The leader draws it from the sequence of the
/// fencing tokens, so it is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct Attempt(pub u64);

/// Amount of machine resources, in thousandths. Requests are rounded up and
/// capacities are rounded down, so that the sum of requests never exceeds a machine.
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
    /// Resources that a task requests, rounded up.
    pub fn request(cpus: f64, gpus: f64, mem: f64) -> Self {
        let round_up = |v: f64| (v * 1000.0 - 1e-6).ceil().max(0.0) as u64;
        Resources { cpu: round_up(cpus), gpu: round_up(gpus), mem: round_up(mem) }
    }
    /// Resources that a machine has, rounded down.
    pub fn capacity(cpus: f64, gpus: f64, mem: f64) -> Self {
        let round_down = |v: f64| (v * 1000.0 + 1e-6).floor().max(0.0) as u64;
        Resources { cpu: round_down(cpus), gpu: round_down(gpus), mem: round_down(mem) }
    }
    /// Whether `request` fits into these resources.
    pub fn fits(&self, request: &Resources) -> bool {
        request.cpu <= self.cpu && request.gpu <= self.gpu && request.mem <= self.mem
    }
    /// Adds each resource.
    pub fn plus(self, o: Resources) -> Self {
        Resources { cpu: self.cpu + o.cpu, gpu: self.gpu + o.gpu, mem: self.mem + o.mem }
    }
    /// Subtracts each resource, saturating at zero.
    pub fn saturating_sub(self, o: Resources) -> Self {
        Resources {
            cpu: self.cpu.saturating_sub(o.cpu),
            gpu: self.gpu.saturating_sub(o.gpu),
            mem: self.mem.saturating_sub(o.mem),
        }
    }
    /// Number of copies of `request` that fit, at most `cap`.
    pub fn max_copies(&self, request: &Resources, cap: u64) -> u64 {
        let copies = |available: u64, requested: u64| available.checked_div(requested).unwrap_or(cap);
        copies(self.cpu, request.cpu)
            .min(copies(self.gpu, request.gpu))
            .min(copies(self.mem, request.mem))
            .min(cap)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an age that is older than the clock and becomes the clock's zero.
    #[test]
    fn no_point_in_time_lies_before_the_clock() {
        let s = Micros::secs;
        // (now, age, point in time)
        let cases = [(5, 2, Some(s(3))), (5, 5, Some(s(0))), (5, 6, None), (0, 0, Some(s(0))), (0, 1, None)];
        for (now, age, expected) in cases {
            assert_eq!(s(now).before(s(age)), expected, "{now} {age}");
        }
        assert_eq!(s(1).before(Micros(u64::MAX)), None);
    }

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
        for (text, expected) in cases {
            assert_eq!(JobId::parse(text).map(|j| j.0), expected, "{text}");
            if let Some(id) = JobId::parse(text) {
                assert_eq!(id.to_string(), text);
            }
        }
    }

    #[test]
    fn generated_job_ids_are_rejected_from_users() {
        for (text, user) in [
            ("j-000412", true),
            ("j-999999999999999999", true),
            ("j-1000000000000000000", false),
            ("j-18446744073709551615", false),
        ] {
            assert_eq!(
                (JobId::parse_user_id(text).is_some(), JobId::parse(text).is_some()),
                (user, true),
                "{text}"
            );
        }
    }

    #[test]
    fn requests_round_up_and_capacities_round_down() {
        assert_eq!(Resources::request(4.0, 0.0, 5.3).mem, 5300);
        assert_eq!(Resources::request(0.0001, 0.0, 0.0).cpu, 1);
        assert_eq!(Resources::capacity(3.9999, 0.0, 8.0).cpu, 3999);
    }
}
