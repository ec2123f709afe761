//! Reading of contract files; every error is reported with its location in the file.

use std::{fmt, fs, path::Path};

use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;
use wasabi_protocol::contract::Contract;

use crate::exit::Failure;

/// Reads a contract and validates it by the rules that control applies.
///
/// # Errors
///
/// Returns every problem with file, line, column, field and the expected value.
pub(crate) fn contract(path: &Path) -> Result<Contract, Failure> {
    let file = path.display();
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::Input(format!("cannot read {file}: {error}")))?;
    let contract: Contract = serde_saphyr::from_str(&text).map_err(|error| {
        let location = error
            .location()
            .map(|location| format!(":{}:{}", location.line(), location.column()))
            .unwrap_or_default();
        Failure::Input(format!("{file}{location}: {error}"))
    })?;
    let problems = contract.problems();
    if problems.is_empty() {
        return Ok(contract);
    }
    let tree: Option<Spanned<Tree>> = serde_saphyr::from_str(&text).ok();
    let lines: Vec<_> = problems
        .iter()
        .map(|problem| {
            let location = tree.as_ref().map(|tree| locate(tree, &problem.field));
            let location =
                location.map(|(line, column)| format!(":{line}:{column}")).unwrap_or_default();
            format!("{file}{location}: {} {}", problem.field, problem.message)
        })
        .collect();
    Err(Failure::Input(lines.join("\n")))
}

/// The structure of a document; `Spanned` adds the location of each node.
#[derive(Debug)]
enum Tree {
    Map(Vec<(String, Spanned<Self>)>),
    List(Vec<Spanned<Self>>),
    Scalar,
}

/// Returns the line and column of a field such as `routes[2].tier`, or of its nearest ancestor
/// that the document contains.
fn locate(tree: &Spanned<Tree>, field: &str) -> (u64, u64) {
    let mut current = tree;
    for part in field.split(['.', '[']) {
        let next = match (&current.value, part.strip_suffix(']')) {
            (Tree::List(items), Some(index)) => {
                index.parse().ok().and_then(|index: usize| items.get(index))
            }
            (Tree::Map(fields), None) => {
                fields.iter().find(|(name, _)| name == part).map(|(_, value)| value)
            }
            _ => None,
        };
        let Some(next) = next else { break };
        current = next;
    }
    (current.referenced.line(), current.referenced.column())
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any YAML")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut fields = Vec::new();
        while let Some(name) = map.next_key::<String>()? {
            fields.push((name, map.next_value()?));
        }
        Ok(Tree::Map(fields))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Tree, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = list.next_element()? {
            items.push(item);
        }
        Ok(Tree::List(items))
    }

    fn visit_newtype_struct<D: Deserializer<'de>>(self, inner: D) -> Result<Tree, D::Error> {
        IgnoredAny::deserialize(inner).map(|_| Tree::Scalar)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Tree, E> {
        Ok(Tree::Scalar)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Tree, E> {
        Ok(Tree::Scalar)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Tree, E> {
        Ok(Tree::Scalar)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Tree, E> {
        Ok(Tree::Scalar)
    }

    fn visit_str<E>(self, _: &str) -> Result<Tree, E> {
        Ok(Tree::Scalar)
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Scalar)
    }
}
