"""Tests the template of the settings with and without the platform's duties."""

import pathlib
import re

import pytest

from briarknot import document, schema

_TEMPLATE = pathlib.Path(__file__).parents[3] / 'deploy' / 'gateway.settings'
_VALUES = {
    'nodeName|json': '"g1"',
    'zone|json': '"a"',
    'region|json': '"r"',
    'ip|json': '"127.0.0.1"',
    'listen.front|json': '"127.0.0.1:1"',
    'listen.readiness|json': '"127.0.0.1:2"',
    'portRange.0|json': '7000',
    'platform.address|json': '"127.0.0.1:3"',
    'bounds.graceS': '8',
    'bounds.budgetRatio': '0.2',
    'bounds.budgetExtra': '50',
    'bounds.budgetWindowS': '10',
}
_DUTIES = {
    'cloud.address': '127.0.0.1:4',
    'bounds.reportWindowS': '6',
    'bounds.usageLateS': '12',
}
_DUTY_LIST = '{{#cloud.duties}}{{.|json}}{{,}}{{/cloud.duties}}'


def _render(values, duties):
    """Fills in what the platform does: texts for places, and sections."""
    text = _TEMPLATE.read_text()
    text = re.sub(
        r'\{\{#zones\}\}.*\{\{/zones\}\}',
        '{"domain": "a", "region": "r"}',
        text,
    )
    assert _DUTY_LIST in text
    text = text.replace(_DUTY_LIST, duties)
    for name in re.findall(r'\{\{#(.+?)\}\}', text):
        start, end = f'{{{{#{name}}}}}', f'{{{{/{name}}}}}'
        if name in values:
            text = text.replace(start, '').replace(end, '')
        else:
            text = re.sub(f'{re.escape(start)}.*{re.escape(end)}', '', text)
    return re.sub(
        r'\{\{(.+?)\}\}', lambda found: values.get(found.group(1), ''), text
    )


@pytest.mark.parametrize('has_duty', (True, False))
def test_rendered_settings_are_valid(has_duty):
    """Gateways didn't start where the platform names no duties."""
    values = {**_VALUES, **_DUTIES} if has_duty else _VALUES
    duties = '"usage_report", "autoscale"' if has_duty else ''
    parsed = document.read_text(
        schema.settings.GatewaySettings, _render(values, duties), 'template'
    )
    assert not parsed.findings
    settings = parsed.value
    found = (
        settings.duty_address,
        settings.duties,
        settings.usage_window_s,
        settings.usage_late_s,
    )
    if has_duty:
        assert found == (
            '127.0.0.1:4',
            ('usage_report', 'autoscale'),
            6,
            12,
        )
    else:
        assert found == ('', (), 5, 10)
