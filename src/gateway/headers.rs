//! Names of the headers that callers, upstreams and the gateway use with each other.

use http::HeaderName;

/// Header names of one deployment; [`HeaderNames::default`] are daisyquay's own.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, passed on unchanged and echoed by the upstream.
    pub attempt_id: HeaderName,
    /// Milliseconds that the caller, or the gateway, will wait.
    pub deadline_ms: HeaderName,
    /// Last event of a stream that the caller has.
    pub last_event_id: HeaderName,
    /// Proof that an upstream made the answer; passed back unchanged.
    pub signature: HeaderName,
    /// Says that an upstream did not run the request.
    pub not_run: HeaderName,
    /// Organisation of the caller, set by the gateway.
    pub organisation: HeaderName,
    /// Upstream that the request is meant for; another one at its address must not run it.
    pub upstream: HeaderName,
    /// The upstream that answers.
    pub answered_by: HeaderName,
    /// Running, waiting and slots of the upstream that answers, separated by commas.
    pub load: HeaderName,
    /// Model that is asked for, or `*` where the gateway chooses.
    pub model: HeaderName,
    /// Prompt tokens and most output tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// Parts of the prompt in order, as `ID:TOKENS` separated by commas.
    pub prompt: HeaderName,
    /// Rank of the request at the upstream, 0 first.
    pub rank: HeaderName,
    /// The model's own opinion of its answer, 0 to 100.
    pub confidence: HeaderName,
    /// Session that the request belongs to.
    pub session: HeaderName,
    /// What only the gateway may ask of an upstream; a caller's own is dropped.
    pub reserved: Vec<HeaderName>,
    /// Word before the key in `Authorization`.
    pub auth_scheme: &'static str,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            attempt_id: name("daisyquay-attempt"),
            deadline_ms: name("daisyquay-deadline-ms"),
            last_event_id: name("last-event-id"),
            signature: name("daisyquay-signature"),
            not_run: name("daisyquay-not-run"),
            organisation: name("daisyquay-organisation"),
            upstream: name("daisyquay-upstream"),
            answered_by: name("daisyquay-answered-by"),
            load: name("daisyquay-load"),
            model: name("daisyquay-model"),
            token_counts: name("daisyquay-tokens"),
            prompt: name("daisyquay-prompt"),
            rank: name("daisyquay-rank"),
            confidence: name("daisyquay-confidence"),
            session: name("daisyquay-session"),
            reserved: Vec::new(),
            auth_scheme: "Bearer",
        }
    }
}

/// Headers that concern one connection only.
pub(super) const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
