//! Typed quantities: sizes, rates, costs and times.

use super::*;

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $suffix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                write!(formatter, concat!("{} ", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let number = text.strip_suffix($suffix).unwrap_or(text).trim();
                number.parse().map(Self).map_err(|_| UnitError { text: text.into(), unit: $suffix })
            }
        }

        impl std::ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0 + other.0)
            }
        }

        impl std::ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                self.0 += other.0;
            }
        }
    };
}

unit!(
    /// A number of tokens of text.
    Tokens,
    u64,
    "tokens"
);
unit!(
    /// A size in bytes.
    ByteSize,
    u64,
    "bytes"
);
unit!(
    /// An amount of money in the operator's currency.
    Cost,
    f64,
    "units"
);
unit!(
    /// The time for which work occupies a slot of a backend server, in milliseconds.
    SlotTime,
    f64,
    "slot ms"
);
unit!(
    /// A rate of token generation, in tokens per second.
    TokensPerSecond,
    f64,
    "tokens/s"
);
unit!(
    /// A rate of requests, in requests per second.
    RequestsPerSecond,
    f64,
    "requests/s"
);

impl Eq for Tokens {}
impl Eq for ByteSize {}

/// The error for a text that is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("The quantity {text:?} must be a number in {unit}.")]
pub struct UnitError {
    /// The text that could not be parsed.
    pub text: SmolStr,
    /// The unit that was expected.
    pub unit: &'static str,
}

/// A fraction from 0 to 1, both inclusive.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Share(f64);

impl Share {
    /// The fraction 1.
    pub const ONE: Self = Self(1.0);
    /// The fraction 0.
    pub const ZERO: Self = Self(0.0);

    /// Returns the share, or `None` if the number is outside 0 to 1 or not a number.
    #[must_use]
    pub fn new(number: f64) -> Option<Self> {
        (0.0..=1.0).contains(&number).then_some(Self(number))
    }

    /// Returns the share as a number from 0 to 1.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Display for Share {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for Share {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = || UnitError { text: text.into(), unit: "a share between 0 and 1" };
        text.parse().ok().and_then(Self::new).ok_or_else(invalid)
    }
}

impl<'de> Deserialize<'de> for Share {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = f64::deserialize(deserializer)?;
        Self::new(number).ok_or_else(|| {
            serde::de::Error::custom(format!("the share {number} must lie between 0 and 1"))
        })
    }
}

/// A point in time, or a length of time, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest point in time that can be represented.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time since `earlier`, or zero if that point is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the length of time to a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl std::ops::Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Display for Millis {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix("ms").unwrap_or(text).trim();
        number.parse().map(Self).map_err(|_| UnitError { text: text.into(), unit: "ms" })
    }
}

/// The only source of time in the program.
///
/// `now` is monotonic, starts near zero or at a given time, and includes the time for which the VM
/// was suspended, so that leases expire during a suspension; `unix` is the wall clock, which may
/// jump.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Duration,
    past: Millis,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(Millis(0))
    }

    /// Starts a clock at a given time, so that points up to that long before its start can be
    /// represented.
    #[must_use]
    pub fn start_at(past: Millis) -> Self {
        Self { start: Self::since_boot(), past }
    }

    /// Returns the time since the start, including suspensions of the VM, after the initial time.
    #[must_use]
    pub fn now(&self) -> Millis {
        let passed = Self::since_boot().saturating_sub(self.start);
        self.past + Millis(passed.as_millis() as u64)
    }

    /// Returns the time since the boot of the machine, including suspensions.
    fn since_boot() -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }

    /// Returns the wall-clock time since the Unix epoch (1970), or zero if the clock is set before it.
    #[must_use]
    pub fn unix(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Millis(since.as_millis() as u64)
    }
}
