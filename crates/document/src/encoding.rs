//! Serialization as text in human-readable formats and as the inner value in binary formats.

/// Implements `Serialize` and `Deserialize` for a newtype with `Display` and `FromStr`.
///
/// JSON gets the text form. Binary formats get the inner value, which takes a third of the bytes.
macro_rules! text_or_binary {
    ($name:ident) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    return serializer.collect_str(self);
                }
                serde::Serialize::serialize(&self.0, serializer)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if !deserializer.is_human_readable() {
                    return serde::Deserialize::deserialize(deserializer).map(Self);
                }
                let text: compact_str::CompactString =
                    serde::Deserialize::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

pub(crate) use text_or_binary;
