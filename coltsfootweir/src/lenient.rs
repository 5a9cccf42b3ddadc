//! Deserializer wrapper that ignores trailing array elements for which the decoded type has no field.

use std::fmt;

use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::EnumAccess;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::VariantAccess;
use serde::de::Visitor;
use serde::forward_to_deserialize_any;

/// Wraps a deserializer, visitor, seed or access so that arrays may be longer than the types decoded
/// from them.
pub(crate) struct LenientReader<T>(pub(crate) T);

impl<'de, D: Deserializer<'de>> Deserializer<'de> for LenientReader<D> {
    type Error = D::Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, D::Error> {
        self.0.deserialize_any(LenientReader(visitor))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, D::Error> {
        self.0.deserialize_option(LenientReader(visitor))
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        visitor: V,
    ) -> Result<V::Value, D::Error> {
        self.0
            .deserialize_newtype_struct(name, LenientReader(visitor))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, D::Error> {
        self.0
            .deserialize_enum(name, variants, LenientReader(visitor))
    }

    fn is_human_readable(&self) -> bool {
        self.0.is_human_readable()
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf unit unit_struct
        seq tuple tuple_struct map struct identifier ignored_any
    }
}

impl<'de, V: Visitor<'de>> Visitor<'de> for LenientReader<V> {
    type Value = V::Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.expecting(f)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<V::Value, E> {
        self.0.visit_bool(value)
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<V::Value, E> {
        self.0.visit_i64(value)
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<V::Value, E> {
        self.0.visit_u64(value)
    }

    fn visit_f32<E: Error>(self, value: f32) -> Result<V::Value, E> {
        self.0.visit_f32(value)
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<V::Value, E> {
        self.0.visit_f64(value)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<V::Value, E> {
        self.0.visit_str(text)
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<V::Value, E> {
        self.0.visit_bytes(bytes)
    }

    fn visit_unit<E: Error>(self) -> Result<V::Value, E> {
        self.0.visit_unit()
    }

    fn visit_none<E: Error>(self) -> Result<V::Value, E> {
        self.0.visit_none()
    }

    fn visit_some<D: Deserializer<'de>>(self, decoder: D) -> Result<V::Value, D::Error> {
        self.0.visit_some(LenientReader(decoder))
    }

    fn visit_newtype_struct<D: Deserializer<'de>>(self, decoder: D) -> Result<V::Value, D::Error> {
        self.0.visit_newtype_struct(LenientReader(decoder))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, access: A) -> Result<V::Value, A::Error> {
        let mut access = LenientReader(access);
        let value = self.0.visit_seq(&mut access)?;
        while let Some(IgnoredAny) = access.0.next_element()? {}
        Ok(value)
    }

    fn visit_map<A: MapAccess<'de>>(self, access: A) -> Result<V::Value, A::Error> {
        self.0.visit_map(LenientReader(access))
    }

    fn visit_enum<A: EnumAccess<'de>>(self, access: A) -> Result<V::Value, A::Error> {
        self.0.visit_enum(LenientReader(access))
    }
}

impl<'de, S: DeserializeSeed<'de>> DeserializeSeed<'de> for LenientReader<S> {
    type Value = S::Value;

    fn deserialize<D: Deserializer<'de>>(self, decoder: D) -> Result<S::Value, D::Error> {
        self.0.deserialize(LenientReader(decoder))
    }
}

impl<'de, A: SeqAccess<'de>> SeqAccess<'de> for LenientReader<A> {
    type Error = A::Error;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, A::Error> {
        self.0.next_element_seed(LenientReader(seed))
    }

    fn size_hint(&self) -> Option<usize> {
        self.0.size_hint()
    }
}

impl<'de, A: MapAccess<'de>> MapAccess<'de> for LenientReader<A> {
    type Error = A::Error;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, A::Error> {
        self.0.next_key_seed(LenientReader(seed))
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, A::Error> {
        self.0.next_value_seed(LenientReader(seed))
    }
}

impl<'de, A: EnumAccess<'de>> EnumAccess<'de> for LenientReader<A> {
    type Error = A::Error;
    type Variant = LenientReader<A::Variant>;

    fn variant_seed<S: DeserializeSeed<'de>>(
        self,
        seed: S,
    ) -> Result<(S::Value, LenientReader<A::Variant>), A::Error> {
        let (value, variant) = self.0.variant_seed(LenientReader(seed))?;
        Ok((value, LenientReader(variant)))
    }
}

impl<'de, A: VariantAccess<'de>> VariantAccess<'de> for LenientReader<A> {
    type Error = A::Error;

    fn unit_variant(self) -> Result<(), A::Error> {
        self.0.unit_variant()
    }

    fn newtype_variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, A::Error> {
        self.0.newtype_variant_seed(LenientReader(seed))
    }

    fn tuple_variant<V: Visitor<'de>>(
        self,
        length: usize,
        visitor: V,
    ) -> Result<V::Value, A::Error> {
        self.0.tuple_variant(length, LenientReader(visitor))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, A::Error> {
        self.0.struct_variant(fields, LenientReader(visitor))
    }
}
