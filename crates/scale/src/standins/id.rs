//! Ids of the stand-ins' webhooks: they tell who took the webhook, where it goes and what it may be repeated for, so
//! that a receiver knows all that from the id alone.

use std::fmt;
use std::str::FromStr;

/// The event types of all runs, one for each effect, and one whose webhooks keep their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EventType {
    Idempotent,
    /// Every endpoint of the destination knows a repeat.
    Tokened,
    /// Only the endpoints of one zone know a repeat.
    TokenedInZone,
    AtMostOnce,
    /// Idempotent, and webhooks with one key go one at a time. The key is the destination.
    Ordered,
}

impl EventType {
    pub const ALL: [EventType; 5] = [
        EventType::Idempotent,
        EventType::Tokened,
        EventType::TokenedInZone,
        EventType::AtMostOnce,
        EventType::Ordered,
    ];

    /// The name in settings and paths.
    pub fn name(self) -> &'static str {
        match self {
            EventType::Idempotent => "idem",
            EventType::Tokened => "token",
            EventType::TokenedInZone => "zoned",
            EventType::AtMostOnce => "once",
            EventType::Ordered => "order",
        }
    }

    /// The letter in ids.
    fn letter(self) -> &'static str {
        match self {
            EventType::Idempotent => "i",
            EventType::Tokened => "t",
            EventType::TokenedInZone => "z",
            EventType::AtMostOnce => "a",
            EventType::Ordered => "o",
        }
    }
}

/// One webhook handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WebhookId {
    pub sender: u16,
    pub destination: u32,
    /// Counted up by its client: of one sender's webhooks for one destination the later has the higher number.
    pub number: u32,
    pub event_type: EventType,
}

impl fmt::Display for WebhookId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let letter = self.event_type.letter();
        write!(f, "{letter}-{:x}-{:x}-{:08x}", self.sender, self.destination, self.number)
    }
}

/// A text that is no id of a webhook.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseWebhookIdError;

impl FromStr for WebhookId {
    type Err = ParseWebhookIdError;

    fn from_str(text: &str) -> Result<Self, ParseWebhookIdError> {
        let mut parts = text.split('-');
        let mut part = || parts.next().ok_or(ParseWebhookIdError);
        let letter = part()?;
        let event_type =
            EventType::ALL.into_iter().find(|t| t.letter() == letter).ok_or(ParseWebhookIdError)?;
        let mut number = || u32::from_str_radix(part()?, 16).map_err(|_| ParseWebhookIdError);
        let sender = u16::try_from(number()?).map_err(|_| ParseWebhookIdError)?;
        let id = WebhookId { sender, destination: number()?, number: number()?, event_type };
        if parts.next().is_some() { Err(ParseWebhookIdError) } else { Ok(id) }
    }
}
