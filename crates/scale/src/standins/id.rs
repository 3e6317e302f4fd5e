//! Ids of the stand-ins' webhooks. An id holds the sender, the destination and the event type, so that a
//! receiver knows from the id alone what the rules require for the webhook.

use std::fmt;
use std::str::FromStr;

/// The event types of all runs: one for each kind of effect, and one whose webhooks keep their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EventType {
    /// Repeating a webhook does no harm.
    Idempotent,
    /// Every endpoint of the destination recognizes a repeat by its idempotency key.
    Tokened,
    /// Only the endpoints of one zone recognize a repeat.
    TokenedInZone,
    /// A webhook must not be sent again once it may have taken effect.
    AtMostOnce,
    /// Idempotent, and webhooks with one ordering key are sent one at a time. The ordering key is the
    /// destination.
    Ordered,
}

impl EventType {
    /// All event types.
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

    /// The letter in webhook ids.
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

/// The id of a webhook that a client hands in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WebhookId {
    /// The number of the sender that it is handed to.
    pub sender: u16,
    /// The number of the destination that it is for.
    pub destination: u32,
    /// A number that the client counts up: of one sender's webhooks for one destination, a later one has a
    /// higher number.
    pub number: u32,
    /// What may happen to it, by its event type.
    pub event_type: EventType,
}

impl fmt::Display for WebhookId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let letter = self.event_type.letter();
        write!(formatter, "{letter}-{:x}-{:x}-{:08x}", self.sender, self.destination, self.number)
    }
}

/// The text is not the id of a webhook.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseWebhookIdError;

impl FromStr for WebhookId {
    type Err = ParseWebhookIdError;

    fn from_str(text: &str) -> Result<Self, ParseWebhookIdError> {
        let mut parts = text.split('-');
        let mut next_part = || parts.next().ok_or(ParseWebhookIdError);
        let letter = next_part()?;
        let event_type = EventType::ALL
            .into_iter()
            .find(|event_type| event_type.letter() == letter)
            .ok_or(ParseWebhookIdError)?;
        let mut next_number = || u32::from_str_radix(next_part()?, 16).map_err(|_| ParseWebhookIdError);
        let sender = u16::try_from(next_number()?).map_err(|_| ParseWebhookIdError)?;
        let id = WebhookId { sender, destination: next_number()?, number: next_number()?, event_type };
        if parts.next().is_some() { Err(ParseWebhookIdError) } else { Ok(id) }
    }
}
