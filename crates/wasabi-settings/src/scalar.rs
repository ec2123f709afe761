//! Scalars that store a parse error instead of aborting the parse, so that all errors are reported.

use std::{fmt, marker::PhantomData, net::SocketAddr, ops::Deref, str::FromStr};

use garde::{Path, Report, Validate, error::Error};
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, Visitor},
};
use wasabi_protocol::clock::Millis;

/// A value parsed from text, with the error if the text is invalid.
///
/// [`file::read`](crate::file::read) rejects settings with errors, so code that uses settings never
/// sees the placeholder of an invalid scalar.
#[derive(Debug, Clone, PartialEq)]
pub struct Scalar<T> {
    value: T,
    error: Option<String>,
}

impl<T> Scalar<T> {
    /// Creates a valid scalar.
    pub const fn new(value: T) -> Self {
        Self { value, error: None }
    }
}

impl<T> Deref for Scalar<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: Field> Scalar<T> {
    fn parse(text: &str) -> Self {
        match T::parse(text) {
            Ok(value) => Self::new(value),
            Err(error) => Self { value: T::placeholder(), error: Some(error) },
        }
    }
}

impl<T> Validate for Scalar<T> {
    type Context = ();

    fn validate_into(
        &self,
        (): &Self::Context,
        parent: &mut dyn FnMut() -> Path,
        report: &mut Report,
    ) {
        if let Some(error) = &self.error {
            report.append(parent(), Error::new(error));
        }
    }
}

impl<T: Field> Serialize for Scalar<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.value.format())
    }
}

impl<'de, T: Field> Deserialize<'de> for Scalar<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TextVisitor(PhantomData))
    }
}

impl<T: Field> JsonSchema for Scalar<T> {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> std::borrow::Cow<'static, str> {
        T::FORMAT.into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": T::FORMAT })
    }
}

/// A type that a [`Scalar`] can hold.
pub trait Field: Sized {
    /// The format of the text, as named in the reference.
    const FORMAT: &'static str;

    /// Parses the value.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong and what is expected.
    fn parse(text: &str) -> Result<Self, String>;

    /// Formats the value.
    fn format(&self) -> String;

    /// Returns the value used in place of an invalid one until the settings are rejected.
    fn placeholder() -> Self;
}

impl Field for Millis {
    const FORMAT: &'static str = "time span (`500ms`, `30s`, `5m`)";

    fn parse(text: &str) -> Result<Self, String> {
        let split = text.find(|character: char| !character.is_ascii_digit()).unwrap_or(text.len());
        let (number, unit) = text.split_at(split);
        let unit_ms = match unit.trim() {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "" => return Err(format!("`{text}` has no unit; write it as `{text}ms` or `{text}s`")),
            other => return Err(format!("unit `{other}` is unknown; use `ms`, `s` or `m`")),
        };
        number
            .parse::<u64>()
            .ok()
            .and_then(|count| count.checked_mul(unit_ms))
            .map(Self)
            .ok_or_else(|| format!("`{text}` is not a time span such as `500ms` or `30s`"))
    }

    fn format(&self) -> String {
        if self.0 != 0 && self.0.is_multiple_of(1_000) {
            format!("{}s", self.0 / 1_000)
        } else {
            format!("{}ms", self.0)
        }
    }

    fn placeholder() -> Self {
        Self::ZERO
    }
}

impl Field for SocketAddr {
    const FORMAT: &'static str = "IP address and port (`10.0.0.1:8080`)";

    fn parse(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| {
            format!("`{text}` is not an IP address with a port, such as `10.0.0.1:8080`")
        })
    }

    fn format(&self) -> String {
        self.to_string()
    }

    fn placeholder() -> Self {
        Self::from(([0, 0, 0, 0], 0))
    }
}

macro_rules! whole_number {
    ($($type:ty),*) => {
        $(impl Field for $type {
            const FORMAT: &'static str = "whole number";

            fn parse(text: &str) -> Result<Self, String> {
                Self::from_str(text).map_err(|_| {
                    format!("`{text}` is not a whole number between {} and {}", Self::MIN, Self::MAX)
                })
            }

            fn format(&self) -> String {
                self.to_string()
            }

            fn placeholder() -> Self {
                Self::MIN
            }
        })*
    };
}

whole_number!(u16, u32, u64, usize);

struct TextVisitor<T>(PhantomData<T>);

impl<T: Field> Visitor<'_> for TextVisitor<T> {
    type Value = Scalar<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(T::FORMAT)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Scalar::parse(text))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Self::Value, E> {
        Ok(Scalar::parse(&number.to_string()))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<Self::Value, E> {
        Ok(Scalar::parse(&number.to_string()))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Self::Value, E> {
        Ok(Scalar::parse(&number.to_string()))
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<Self::Value, E> {
        Ok(Scalar::parse(&value.to_string()))
    }

    fn visit_unit<E: de::Error>(self) -> Result<Self::Value, E> {
        Ok(Scalar::parse(""))
    }
}
