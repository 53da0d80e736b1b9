//! Launch times of periodic jobs.
use cronexpr::{Crontab, FallbackTimezoneOption, ParseOptions};
use jiff::Timestamp;

/// A cron expression in a time zone.
#[derive(Debug, Clone)]
pub struct Cron {
    tab: Crontab,
}

impl Cron {
    /// Parses an expression of five fields, or a name such as `@daily`; the error is the reason for
    /// refusing it.
    pub fn read(text: &str, zone: &str) -> Result<Cron, String> {
        if jiff::tz::TimeZone::get(zone).is_err() {
            return Err(format!("\"{zone}\" is not a time zone such as Europe/Prague"));
        }
        let spec = match text.trim() {
            "@yearly" | "@annually" => "0 0 1 1 *",
            "@monthly" => "0 0 1 * *",
            "@weekly" => "0 0 * * 0",
            "@daily" | "@midnight" => "0 0 * * *",
            "@hourly" => "0 * * * *",
            s => s,
        };
        let fields = spec.split_ascii_whitespace().count();
        if fields != 5 {
            return Err(format!(
                "\"{text}\" has {fields} fields: minute, hour, day, month and weekday are served"
            ));
        }
        let mut options = ParseOptions::default();
        options.fallback_timezone_option = FallbackTimezoneOption::None;
        let tab = cronexpr::parse_crontab_with(&format!("{spec} {zone}"), options)
            .map_err(|e| format!("\"{text}\" is not a cron expression: {}", last_line(&e.to_string())))?;
        let cron = Cron { tab };
        if cron.next_after(0).is_none() {
            return Err(format!("\"{text}\" never comes"));
        }
        Ok(cron)
    }

    /// The next launch after `ms`; both are in milliseconds since 1970. If the clocks are set back,
    /// the repeated hour launches each matching minute only in its first pass; an hour skipped by
    /// the clocks launches nothing.
    pub fn next_after(&self, ms: u64) -> Option<u64> {
        let mut from = Timestamp::from_millisecond(i64::try_from(ms).ok()?).ok()?;
        loop {
            let next = self.tab.find_next(cronexpr::MakeTimestamp(from)).ok()?;
            // A time in the second pass of a repeated hour has the same local time as one in the
            // first pass and would launch the same minute again.
            let first = next.datetime().to_zoned(next.time_zone().clone()).ok()?;
            if first.timestamp() == next.timestamp() {
                return u64::try_from(next.timestamp().as_millisecond()).ok();
            }
            from = next.timestamp();
        }
    }
}

fn last_line(s: &str) -> &str {
    s.lines().last().unwrap_or("").trim_start_matches(['^', ' '])
}

/// The earliest next launch of several expressions.
pub fn next(crons: &[String], zone: &str, ms: u64) -> Option<u64> {
    crons.iter().filter_map(|c| Cron::read(c, zone).ok()?.next_after(ms)).min()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(t: &str) -> u64 {
        t.parse::<Timestamp>().unwrap().as_millisecond() as u64
    }

    #[test]
    fn launches_follow_local_time_across_clock_changes() {
        // (expression, zone, after, next launches)
        let cases: [(&str, &str, &str, &[&str]); 7] = [
            (
                "*/15 * * * *",
                "UTC",
                "2026-12-01T10:07:00Z",
                &["2026-12-01T10:15:00Z", "2026-12-01T10:30:00Z"],
            ),
            ("@daily", "Asia/Kolkata", "2026-12-01T00:00:00Z", &["2026-12-01T18:30:00Z"]),
            ("30 3 * * 1-5", "Europe/Prague", "2026-12-04T12:00:00Z", &["2026-12-07T02:30:00Z"]),
            // 2:30 does not exist on 2026-03-29 in Prague, so it is skipped.
            ("30 2 * * *", "Europe/Prague", "2026-03-28T12:00:00Z", &["2026-03-30T00:30:00Z"]),
            // 2:30 occurs twice on 2026-10-25; only the first one launches.
            (
                "30 2 * * *",
                "Europe/Prague",
                "2026-10-24T12:00:00Z",
                &["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"],
            ),
            // Every half hour across the repeated hour.
            (
                "*/30 * * * *",
                "Europe/Prague",
                "2026-10-24T23:45:00Z",
                &["2026-10-25T00:00:00Z", "2026-10-25T00:30:00Z", "2026-10-25T02:00:00Z"],
            ),
            ("0 0 29 2 *", "UTC", "2026-03-01T00:00:00Z", &["2028-02-29T00:00:00Z"]),
        ];
        for (cron, zone, after, want) in cases {
            let c = Cron::read(cron, zone).unwrap();
            let mut at = ms(after);
            for w in want {
                at = c.next_after(at).unwrap();
                assert_eq!(at, ms(w), "{cron} {zone} after {after}");
            }
        }
    }

    #[test]
    fn invalid_cron_expressions_are_refused() {
        let cases = [
            ("", "UTC", "fields"),
            ("* * * *", "UTC", "4 fields"),
            ("0 0 0 * * *", "UTC", "6 fields"),
            ("61 * * * *", "UTC", "61"),
            ("0 0 30 2 *", "UTC", "never"),
            ("@reboot", "UTC", "fields"),
            ("* * * * *", "Europe/Brnoo", "time zone"),
        ];
        for (cron, zone, word) in cases {
            let e = Cron::read(cron, zone).unwrap_err();
            assert!(e.contains(word), "{cron} {zone}: {e}");
        }
    }
}
