"""The parts of prompts that other prompts may share."""

import json

import pytest

from laburnumreel.protocol import parse_model_request, prompt_parts
from laburnumreel.protocol._prompt_parts import MAX_PARTS, PREFIX_LENGTHS


def find_parts(model="m", service="chat", **body):
    raw = json.dumps({"model": model, **body}).encode()
    return prompt_parts(parse_model_request(raw, "messages" in body).ok, service)


def chat(*contents, **fields):
    messages = [{"role": "user", "content": content} for content in contents]
    return find_parts(messages=messages, **fields)


def test_last_part_of_a_prompt_is_never_a_suspect():
    """A sound customer's own question could be held for all."""
    assert chat("alone") == () == find_parts(prompt="x" * 256)
    assert chat("a", "b", "own") == chat("a", "b", "another") and len(chat("a", "b", "own")) == 2
    image, question = {"type": "image", "url": "u"}, {"type": "text", "text": "own"}
    assert len(chat([image, question])) == 1
    assert len(find_parts(prompt="x" * 257)) == 1


def test_same_part_elsewhere_in_a_prompt_is_the_same_part():
    """A bad part was another one at each place in a prompt."""
    assert set(chat("a", "bad", "own")) & set(chat("bad", "own")) == set(chat("bad", "x"))
    assert find_parts(prompt="a" * 3000)[:3] == find_parts(prompt="a" * 900 + "b" * 900)[:3]


def test_part_of_another_model_or_service_is_another_part():
    """An answer of a model that a part does no harm cleared it for one that it crashes."""
    assert chat("a", "b") != chat("a", "b", model="n") != chat("a", "b", service="other")


@pytest.mark.parametrize("content", ["\ud800", [{"type": "text", "text": "x", "n": 2**70}]])
def test_odd_part_has_a_digest(content):
    """A message that one encoder refuses ended its request with an internal error."""
    assert len(chat(content, "own")) == 1


def test_parts_of_long_prompts_are_bounded():
    assert len(chat(*map(str, range(200)))) == MAX_PARTS
    assert len(find_parts(prompt="x" * 10**6)) == MAX_PARTS == len(PREFIX_LENGTHS)
