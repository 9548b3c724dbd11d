//! Keys of callers: parsed strictly, stored as digests, never printed.

use catkinmast_access::{
    Admission, CredentialError, KeyDigest, ViewAge, WorkspaceConfig, WorkspaceError, Workspaces,
    admit, credential,
};
use catkinmast_adapter::UsersPlatform;
use catkinmast_serve::{OperatorUpdate, Platform, StoreAnswer, StoreCall};
use proptest::prelude::*;
use serde_json::{Value, json};

const KEY: &str = "42q492cqf75rjvz48wua";
const BOUND_MS: u64 = 3_000;

fn config(name: &str, keys: &[&str]) -> WorkspaceConfig {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    WorkspaceConfig { keys, name: name.to_owned(), priority: None }
}

fn workspaces() -> Workspaces {
    Workspaces::open([config("hule930", &[KEY]), config("fida11", &["another"])])
        .expect("valid workspaces")
}

const fn view(age_ms: Option<u64>) -> ViewAge {
    ViewAge { age_ms, bound_ms: BOUND_MS, fail_closed_after_ms: None }
}

/// Returns a document with these tenants as the store answers it.
fn store_answer(tenants: &Value) -> Vec<u8> {
    let document = json!({
        "version": 7, "routes": [], "services": [], "tenants": tenants,
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576, "headerTimeoutMs": 3_000,
                    "idleTimeoutMs": 15_000 },
    });
    let value = base64::Engine::encode(
        &base64::engine::general_purpose::STANDARD,
        document.to_string().as_bytes(),
    );
    json!({ "items": [{ "key": "op/config", "value": value, "revision": 4 }], "asOf": 4 })
        .to_string()
        .into_bytes()
}

/// Returns what a node stores of a document that it reads from the store.
fn stored_by_node(tenants: &Value) -> Vec<u8> {
    let call =
        StoreCall::Range { after: String::new(), may_be_old: false, prefix: "op/".to_owned() };
    let answer = UsersPlatform::store_answer(&call, 200, &store_answer(tenants)).expect("a page");
    let StoreAnswer::Items { mut items, .. } = answer else { panic!("a page of keys") };
    items.remove(0).value
}

#[yare::parameterized(
    plain = { &["Bearer 42q492cqf75rjvz48wua"] },
    lower_case_scheme = { &["bearer 42q492cqf75rjvz48wua"] },
    upper_case_scheme = { &["BEARER 42q492cqf75rjvz48wua"] },
    spaces_around_the_key = { &["Bearer   42q492cqf75rjvz48wua  "] },
)]
fn a_key_is_read(values: &[&str]) {
    let read = credential(values.iter().map(|value| value.as_bytes()));

    assert_eq!(read, Ok(KeyDigest::of(KEY.as_bytes())));
}

#[yare::parameterized(
    none = { &[], CredentialError::Missing },
    twice = { &["Bearer a", "Bearer a"], CredentialError::Repeated(2) },
    other_scheme = { &["Basic 42q492cqf75rjvz48wua"], CredentialError::Scheme },
    no_scheme = { &["42q492cqf75rjvz48wua"], CredentialError::Scheme },
    no_key = { &["Bearer "], CredentialError::NotOneKey },
    two_words = { &["Bearer a b"], CredentialError::NotOneKey },
    tab_for_a_space = { &["Bearer\ta"], CredentialError::Scheme },
    empty = { &[""], CredentialError::Scheme },
)]
fn anything_but_a_single_key_is_an_error(values: &[&str], expected: CredentialError) {
    let read = credential(values.iter().map(|value| value.as_bytes()));

    assert_eq!(read, Err(expected));
}

#[test]
fn a_key_of_64_kilobytes_is_denied_as_unknown() {
    let value = format!("Bearer {}", "k".repeat(65_536));

    let read = credential([value.as_bytes()]);
    let workspaces = workspaces();
    let admission = admit(Some(&workspaces), false, read, view(Some(0)));

    let Admission::Denied(why) = admission else { panic!("{admission:?}") };
    assert!(why.len() < 100, "{why}");
}

proptest! {
    #[test]
    fn no_header_causes_a_panic_or_an_error_that_quotes_it(
        values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..4),
        secret in "[a-z0-9]{16,24}",
    ) {
        let own = format!("Bearer {secret} {secret}").into_bytes();
        let all = values.iter().chain([&own]).map(Vec::as_slice);

        let read = credential(all);

        let workspaces = workspaces();
        let admission = admit(Some(&workspaces), false, read, view(Some(0)));
        let printed = format!("{admission:?}");
        prop_assert!(!printed.contains(&secret), "{}", printed);
    }

    #[test]
    fn a_stored_document_contains_no_key_whatever_its_tenants_are(
        shape in 0_usize..8,
        secret in "[a-z0-9]{16,24}",
    ) {
        let tenants = [
            json!([{ "name": "a", "apiKeys": [secret] }]),
            json!([{ "name": "a", "apiKeys": secret }]),
            json!([{ "name": "a", "apiKeys": { "x": secret } }]),
            json!({ "a": [secret] }),
            json!(secret),
            json!([secret]),
            json!([{ "name": "a", "apiKeys": [secret, ""] }]),
            json!([{ "name": "a", "apiKeys": [secret], "priority": secret }]),
        ];

        let value = stored_by_node(&tenants[shape]);

        let update = UsersPlatform::operator_update("op/config", &value);
        let found = format!("{} {update:?}", String::from_utf8_lossy(&value));
        prop_assert!(!found.contains(&secret), "{}", found);
        prop_assert_eq!(update.is_ok(), shape == 0);
    }

    #[test]
    fn a_digest_is_parsed_as_it_was_printed(key in prop::collection::vec(any::<u8>(), 0..64)) {
        let digest = KeyDigest::of(&key);

        prop_assert_eq!(digest.to_string().parse(), Ok(digest));
    }

    #[test]
    fn parsing_a_digest_never_panics(text in "\\PC{0,40}") {
        let read = text.parse::<KeyDigest>();
        prop_assert!(read.is_err() || text.len() == 32);
    }
}

#[test]
fn workspaces_are_read_with_the_digests_of_their_keys() {
    let tenants = json!([
        { "name": "hule930", "apiKeys": [KEY, "second"], "priority": 1, "unknownHere": 3 },
        { "name": "without", "apiKeys": [] },
    ]);

    let update =
        UsersPlatform::operator_update("op/config", &stored_by_node(&tenants)).expect("a document");

    let Some(OperatorUpdate::Document(document)) = update else { panic!("{update:?}") };
    let workspaces = document.workspaces.expect("workspaces");
    assert_eq!((workspaces.len(), workspaces.key_count()), (2, 2));
    let holder = workspaces.find_by_key(&KeyDigest::of(KEY.as_bytes())).expect("a holder");
    assert_eq!((holder.name.as_str(), holder.priority), ("hule930", Some(1)));
}

#[yare::parameterized(
    empty_key = { json!([{ "name": "a", "apiKeys": [""] }]), "a key of the tenant a is \"\"" },
    empty_name = { json!([{ "name": "", "apiKeys": ["k"] }]), "the name of workspace 0 is \"\"" },
    name_that_is_no_header = { json!([{ "name": "a\nb", "apiKeys": [] }]), "workspace 0 is \"a\\nb\"" },
    name_twice = {
        json!([{ "name": "a", "apiKeys": [] }, { "name": "a", "apiKeys": [] }]), "the workspace name a is used twice"
    },
    key_in_two = {
        json!([{ "name": "a", "apiKeys": ["k"] }, { "name": "b", "apiKeys": ["k"] }]),
        "is listed for the workspaces a and b"
    },
    no_list = { json!("hule930"), "tenants cannot be read" },
)]
fn invalid_workspaces_are_an_error_that_names_the_fault(tenants: Value, expected: &str) {
    let error = UsersPlatform::operator_update("op/config", &stored_by_node(&tenants))
        .expect_err("invalid workspaces are rejected");

    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn a_key_may_stand_twice_in_one_workspace() {
    let workspaces = Workspaces::open([config("a", &["k", "k"])]);

    assert_eq!(workspaces.map(|workspaces| workspaces.key_count()), Ok(1));
}

#[test]
fn two_workspaces_with_one_name_are_an_error() {
    let opened = Workspaces::open([config("a", &[]), config("a", &[])]);

    assert_eq!(opened, Err(WorkspaceError::DuplicateName { name: "a".to_owned() }));
}

#[test]
fn a_known_key_is_accepted_at_any_age_of_the_configuration() {
    for age_ms in [None, Some(0), Some(BOUND_MS), Some(1_000_000)] {
        let workspaces = workspaces();
        let key = Ok(KeyDigest::of(KEY.as_bytes()));

        let admission = admit(Some(&workspaces), false, key, view(age_ms));

        let Admission::Workspace(workspace) = admission else { panic!("{admission:?}") };
        assert_eq!(workspace.name, "hule930");
    }
}

// Guards against a caller whose key was just added being refused for good. The operator adds the
// key while a node has lost the store and every peer that would report the change; it must not deny
// the key by a view of unknown age.
#[yare::parameterized(
    current = { Some(0), true },
    at_the_bound = { Some(BOUND_MS), true },
    old = { Some(BOUND_MS + 1), false },
    unknown = { None, false },
)]
fn an_unknown_key_is_denied_by_a_current_view_only(age_ms: Option<u64>, is_denied: bool) {
    let workspaces = workspaces();
    for read in [Ok(KeyDigest::of(b"new")), Err(CredentialError::Missing)] {
        let admission = admit(Some(&workspaces), false, read, view(age_ms));

        assert_eq!(matches!(admission, Admission::Denied(_)), is_denied, "{admission:?}");
        assert_eq!(matches!(admission, Admission::Undetermined(_)), !is_denied, "{admission:?}");
    }
}

#[test]
fn with_fail_closed_an_old_view_accepts_no_key() {
    let workspaces = workspaces();
    let key = || Ok(KeyDigest::of(KEY.as_bytes()));
    let at = |age_ms| ViewAge { fail_closed_after_ms: Some(5_000), ..view(age_ms) };

    let young = admit(Some(&workspaces), false, key(), at(Some(5_000)));
    let old = admit(Some(&workspaces), false, key(), at(Some(5_001)));
    let unknown = admit(Some(&workspaces), false, key(), at(None));

    assert!(matches!(young, Admission::Workspace(_)), "{young:?}");
    assert!(matches!(old, Admission::Undetermined(_)), "{old:?}");
    assert!(matches!(unknown, Admission::Undetermined(_)), "{unknown:?}");
}

#[test]
fn no_key_is_required_on_public_routes_and_without_workspaces() {
    let workspaces = workspaces();
    let missing = || Err(CredentialError::Missing);

    assert_eq!(admit(Some(&workspaces), true, missing(), view(None)), Admission::Anyone);
    assert_eq!(admit(None, false, missing(), view(None)), Admission::Anyone);
}
