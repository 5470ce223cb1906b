"""Tests of loading the profiles folder and checking its cross references."""

from pathlib import Path

import pytest

from laburnumreel.state import Configuration, load_profiles_folder

EXAMPLES = Path(__file__).parent.parent / "examples"

INVALID_FILES = {
    "profiles/a.ini": "[profile]\nkind = plain\nprefix = /x/\n",
    "profiles/b.ini": "[profile]\nkind = model\nprefix = /y/\n",
    "profiles/c.ini": "[profile]\nkind = plain\nprefix = /v1/z/\nidempotent_methods = GET, FETCH\n",
    "profiles/d.ini": "[profile]\nkind = fast\ndeadline_s = soon\n",
    "profiles/bad name.ini": "[profile]\nkind = model\n",
    "services/one.ini": "[service]\nprofile = b\nmodels = m\ncustomers = hall, ghost\n",
    "services/two.ini": "[service]\nprofile = b\nmodels = m\ncustomers = *\n[spend]\ncheap_share = .5",
    "services/three.ini": "[service]\nprofile = a\ncustomers = *\ncredential_env=A\ncredential_file=B",
    "services/four.ini": "[service]\nprofile = a\nmodels = n\ncustomers = *\n",
    "services/five.ini": "[service]\nprofile = none\ncustomers = *\n",
    "services/six.ini": "[service]\nprofile = b\ncustomers = *\n",
    "customers/hall.ini": "[customer]\nweight = 0\n",
}
EXPECTED_ERRORS = {
    ("b.ini", "prefix"),
    ("c.ini", "prefix"),
    ("c.ini", "idempotent_methods"),
    ("d.ini", "kind"),
    ("d.ini", "deadline_s"),
    ("bad name.ini", ""),
    ("one.ini", "customers"),
    ("two.ini", "models"),
    ("two.ini", "cheap_share"),
    ("three.ini", "credential_env"),
    ("four.ini", "models"),
    ("three.ini", "profile"),
    ("five.ini", "profile"),
    ("six.ini", "models"),
    ("hall.ini", "weight"),
}


def test_every_error_of_a_folder_is_reported_at_once(tmp_path):
    """Guards against a broken cross reference that is only found when a request uses it."""
    for name, text in INVALID_FILES.items():
        path = tmp_path / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    errors = load_profiles_folder(tmp_path).error
    assert {(Path(error.file).name, error.key) for error in errors} == EXPECTED_ERRORS
    assert all(error.found and error.allowed for error in errors)


def test_a_folder_without_subfolders_is_an_error(tmp_path):
    """Guards against a mistyped folder name that deletes the whole configuration."""
    assert load_profiles_folder(tmp_path).is_error()


@pytest.mark.parametrize("name", ["fundas-quetzal", "seitkali"])
def test_examples_are_valid(name):
    """Guards against example profiles that fail validation."""
    entries = load_profiles_folder(EXAMPLES / name).ok
    configuration = Configuration(1, entries)
    assert len(configuration.customers) == 8
    assert sorted(service.workers for service in configuration.services.values()) == [3, 6]
