//! Scalars that keep their fault instead of ending the parse, so that every fault is listed.

use std::{fmt, marker::PhantomData, net::SocketAddr, ops::Deref, str::FromStr};

use garde::{Path, Report, Validate, error::Error};
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, Visitor},
};
use wasabi_protocol::clock::Millis;

/// A value that was read from text, with the fault if the text was wrong.
///
/// Settings with a fault are refused by [`file::read`](crate::file::read), so code that holds
/// settings never sees the placeholder value of a faulty scalar.
#[derive(Debug, Clone, PartialEq)]
pub struct Scalar<T> {
    value: T,
    fault: Option<String>,
}

impl<T> Scalar<T> {
    /// Returns a scalar without a fault.
    pub const fn new(value: T) -> Self {
        Self { value, fault: None }
    }
}

impl<T> Deref for Scalar<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: Field> Scalar<T> {
    fn read(text: &str) -> Self {
        match T::read(text) {
            Ok(value) => Self::new(value),
            Err(fault) => Self { value: T::placeholder(), fault: Some(fault) },
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
        if let Some(fault) = &self.fault {
            report.append(parent(), Error::new(fault));
        }
    }
}

impl<T: Field> Serialize for Scalar<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.value.show())
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
        T::FORM.into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": T::FORM })
    }
}

/// A type that a [`Scalar`] can hold.
pub trait Field: Sized {
    /// The form of the text, as the reference names it.
    const FORM: &'static str;

    /// Reads the value from text.
    ///
    /// # Errors
    ///
    /// Returns what is wrong and what would be right.
    fn read(text: &str) -> Result<Self, String>;

    /// Returns the text of the value.
    fn show(&self) -> String;

    /// Returns the value that stands in for a faulty one until the settings are refused.
    fn placeholder() -> Self;
}

impl Field for Millis {
    const FORM: &'static str = "time span (`500ms`, `30s`, `5m`)";

    fn read(text: &str) -> Result<Self, String> {
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

    fn show(&self) -> String {
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
    const FORM: &'static str = "IP address and port (`10.0.0.1:8080`)";

    fn read(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| {
            format!("`{text}` is not an IP address with a port, such as `10.0.0.1:8080`")
        })
    }

    fn show(&self) -> String {
        self.to_string()
    }

    fn placeholder() -> Self {
        Self::from(([0, 0, 0, 0], 0))
    }
}

macro_rules! whole_number {
    ($($type:ty),*) => {
        $(impl Field for $type {
            const FORM: &'static str = "whole number";

            fn read(text: &str) -> Result<Self, String> {
                Self::from_str(text).map_err(|_| {
                    format!("`{text}` is not a whole number between {} and {}", Self::MIN, Self::MAX)
                })
            }

            fn show(&self) -> String {
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
        f.write_str(T::FORM)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Scalar::read(text))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Self::Value, E> {
        Ok(Scalar::read(&number.to_string()))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<Self::Value, E> {
        Ok(Scalar::read(&number.to_string()))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Self::Value, E> {
        Ok(Scalar::read(&number.to_string()))
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<Self::Value, E> {
        Ok(Scalar::read(&value.to_string()))
    }

    fn visit_unit<E: de::Error>(self) -> Result<Self::Value, E> {
        Ok(Scalar::read(""))
    }
}
