//! Names of the headers between callers, the gateway and upstreams.

use http::HeaderName;

/// Header names of one deployment. The default names start with `daisyquay-`, apart from
/// `last-event-id`.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; forwarded unchanged and echoed by the upstream.
    pub attempt_id: HeaderName,
    /// Milliseconds for which the sender, caller or gateway, will wait for the response.
    pub deadline_ms: HeaderName,
    /// Id of the last event that the caller has received of a stream.
    pub last_event_id: HeaderName,
    /// Proof that the response comes from an upstream; returned unchanged to the caller.
    pub signature: HeaderName,
    /// Present if the upstream did not run the request.
    pub not_run: HeaderName,
    /// Organisation of the caller; set by the gateway.
    pub organisation: HeaderName,
    /// Id of the upstream that the request is for; another one at the same address must not run it.
    pub upstream: HeaderName,
    /// Id of the upstream that responds.
    pub answered_by: HeaderName,
    /// Running requests, waiting requests and slots of the upstream that responds, separated by
    /// commas.
    pub load: HeaderName,
    /// Requests a second that the upstream which responds takes from all gateways together, for as
    /// long as its responses say so.
    pub rate_limit: HeaderName,
    /// Present if the upstream which responds is leaving.
    pub leaving: HeaderName,
    /// Requests a second that the upstream which responds can reject for want of room, over all
    /// gateways, before it falls over. In all its responses while it is so brittle.
    pub brittle: HeaderName,
    /// How much longer the upstream which responds is cold, in milliseconds.
    pub cold_ms: HeaderName,
    /// Requested model, or `*` to let the gateway choose.
    pub model: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// The caller's estimate of the number of output tokens, which is often far off.
    pub length_hint: HeaderName,
    /// Parts of the prompt in order, as `ID:TOKENS` separated by commas; the id is hexadecimal.
    pub prompt: HeaderName,
    /// Rank of the request at the upstream, 0 for the most urgent.
    pub rank: HeaderName,
    /// Confidence of the model in its response, 0 to 100.
    pub confidence: HeaderName,
    /// Id of the session that the request belongs to.
    pub session: HeaderName,
    /// Headers that only the gateway may send to an upstream; removed from callers' requests.
    pub reserved: Vec<HeaderName>,
    /// Scheme before the key in the `Authorization` header.
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
            rate_limit: name("daisyquay-rate-limit"),
            leaving: name("daisyquay-leaving"),
            brittle: name("daisyquay-brittle"),
            cold_ms: name("daisyquay-cold-ms"),
            model: name("daisyquay-model"),
            token_counts: name("daisyquay-tokens"),
            length_hint: name("daisyquay-length-hint"),
            prompt: name("daisyquay-prompt"),
            rank: name("daisyquay-rank"),
            confidence: name("daisyquay-confidence"),
            session: name("daisyquay-session"),
            reserved: Vec::new(),
            auth_scheme: "Bearer",
        }
    }
}

/// On a request: that another gateway has passed it on, with the proof. On its response: that another
/// gateway may serve it.
pub(super) const PASSED_ON: HeaderName = HeaderName::from_static("daisyquay-passed-on");

/// Headers that apply to a single connection and are not forwarded.
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
