//! Stored resources that are in force at this entry.

use kameo::message::{Context, Message};
use mastknot_core::message::ConfigItem;

use super::EntryActor;
use super::messages::{GetItem, Items, ListItems};

impl Message<GetItem> for EntryActor {
    type Reply = Items;

    async fn handle(&mut self, get: GetItem, _: &mut Context<Self, Self::Reply>) -> Items {
        let config = self.core.config();
        Items {
            version: config.version(),
            items: config.item(&get.0).into_iter().cloned().collect(),
        }
    }
}

impl Message<ListItems> for EntryActor {
    type Reply = Items;

    async fn handle(&mut self, list: ListItems, _: &mut Context<Self, Self::Reply>) -> Items {
        let delta = self.core.config().delta_since(list.after);
        let of_kind = |item: &ConfigItem| list.kind == "all" || *item.resource.kind == *list.kind;
        Items {
            version: delta.version,
            items: delta.items.into_iter().filter(of_kind).collect(),
        }
    }
}
