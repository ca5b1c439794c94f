use snafu::Snafu;

/// Features that handle scarce capacity when queues of several priorities compete for the targets.
///
/// Each feature can be switched by itself. While it is off, the simpler behaviour without it applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScarcitySettings {
    /// Whether sides grant scarce capacity to one entry at a time.
    pub grants: bool,
    /// Whether a forecast of the wait decides which jobs are accepted or refused and when callers should retry. Off by
    /// default.
    pub forecast: bool,
    /// Whether scarce capacity is divided by the shares of halls among needs that are equally urgent. Off by default.
    pub shares: bool,
    /// Whether learned values outlast the processes: suspects always, slowdowns and run times only if queues are
    /// ranked.
    pub profile: bool,
}

impl Default for ScarcitySettings {
    fn default() -> Self {
        Self {
            grants: true,
            forecast: false,
            shares: false,
            profile: true,
        }
    }
}

/// Error for a name that is none of the features in [`ScarcitySettings`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown part `{name}`: expected `grants`, `forecast`, `shares` or `profile`"))]
pub struct UnknownPart {
    name: String,
}

impl ScarcitySettings {
    /// Returns the settings with the feature of this name switched on or off, or an error if there is no such feature.
    pub fn with_part(mut self, name: &str, is_on: bool) -> Result<Self, UnknownPart> {
        let part = match name {
            "grants" => &mut self.grants,
            "forecast" => &mut self.forecast,
            "shares" => &mut self.shares,
            "profile" => &mut self.profile,
            _ => return UnknownPartSnafu { name }.fail(),
        };
        *part = is_on;
        Ok(self)
    }
}
