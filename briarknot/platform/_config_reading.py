"""Checks the text of a manifest that operators are about to send."""

import collections.abc
import typing

import attrs
import orjson

from briarknot import schema
from briarknot.platform import _config_checks as _registered_checks
from briarknot.platform import _config_registry, _decoding

#: Modules whose import registers their checks.
CHECK_MODULES = (_registered_checks,)
#: Longest text of a finding; the decoder quotes values, which may be large.
_MAX_TEXT = 300
_SUBJECTS = ('routes', 'services')


@attrs.frozen
class CheckedConfig:
    """Result of a check.

    :param manifest: the manifest; None where it can't be decoded.
    :param findings: errors, then warnings.
    """

    manifest: schema.serving.Manifest | None
    findings: tuple[_config_registry.ConfigFinding, ...] = ()


def check_config(
    text: bytes,
    version: int | None = None,
    workers: collections.abc.Mapping[str, int] | None = None,
) -> CheckedConfig:
    """Checks a manifest.

    :param text: JSON of its row.
    :param version: version in force; None where it is not known.
    :param workers: number of workers by service; None where it is not known.
    """
    try:
        tree = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return CheckedConfig(None, (_make_error('json', '', str(error)),))
    manifest = _decoding.decode_manifest(tree)
    if isinstance(manifest, _decoding.Malformed):
        return CheckedConfig(None, tuple(_explain(tree, manifest.reason)))
    wrong = tuple(_list_wrong_types(manifest))
    if wrong:
        return CheckedConfig(None, wrong)
    candidate = _config_registry.Candidate(tree, manifest, version, workers)
    findings = []
    for name in _config_registry.CONFIG_CHECKS.names:
        check = _config_registry.CONFIG_CHECKS.get(name)
        findings.extend(
            _config_registry.ConfigFinding(
                check.severity, name, subject, text[:_MAX_TEXT]
            )
            for subject, text in check.run(candidate)
        )
    # Errors sort before warnings.
    findings.sort(key=lambda one: one.severity)
    return CheckedConfig(manifest, tuple(findings))


def _make_error(
    check: str, subject: str, text: str
) -> _config_registry.ConfigFinding:
    return _config_registry.ConfigFinding(
        _config_registry.Severity.ERROR, check, subject, text[:_MAX_TEXT]
    )


def _explain(
    tree: typing.Any, reason: str
) -> collections.abc.Iterator[_config_registry.ConfigFinding]:
    """Yields the entries that the decoder refuses, or why it refuses the whole.

    :param tree: plain value of the manifest.
    :param reason: why the decoder refuses it.
    """
    refused = tuple(_list_refused(tree)) if isinstance(tree, dict) else ()
    for subject, entry_reason in refused or (('', reason),):
        yield _make_error('decoder', subject, entry_reason)


def _list_refused(tree: dict[str, typing.Any]) -> _config_registry.Problems:
    """Yields the entries that the decoder refuses where the rest is valid."""
    rest = {**tree, 'routes': [], 'services': [], 'tenants': []}
    if not _decoding.decode_manifest(rest):
        return
    for subject in _SUBJECTS:
        entries = tree.get(subject)
        for number, entry in enumerate(
            entries if isinstance(entries, list) else ()
        ):
            decoded = _decoding.decode_manifest({**rest, subject: [entry]})
            if isinstance(decoded, _decoding.Malformed):
                yield f'{subject}[{number}]', decoded.reason


def _list_wrong_types(
    manifest: schema.serving.Manifest,
) -> collections.abc.Iterator[_config_registry.ConfigFinding]:
    """Yields values that the decoder takes over although their type is wrong."""
    entries = {
        f'{subject}[{number}]': entry
        for subject in _SUBJECTS
        for number, entry in enumerate(getattr(manifest, subject))
    }
    for subject, entry in {**entries, 'limits': manifest.limits}.items():
        try:
            schema.from_plain(type(entry), schema.to_plain(entry))
        except (TypeError, ValueError) as error:
            yield _make_error('type', subject, str(error))
