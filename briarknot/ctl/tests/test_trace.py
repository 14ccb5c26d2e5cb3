"""Guards against missing or misordered log lines of a request."""

from briarknot.ctl import _log_commands, _program

_LINES = """\
{"time":2.5,"level":"info","event":"request_ended","host":"g","request":"q","outcome":"x"}
   1.2 g {"time":1.0,"level":"info","event":"attempt_ended","host":"h","request":"q","worker":"w"}
{"time":1.5,"level":"info","event":"attempt_ended","host":"h","request":"other"}
no line of JSON
"""


def test_lines_of_request_are_sorted_by_time(tmp_path, capsys):
    """Lines of several hosts out of order would show an effect before its cause."""
    path = tmp_path / 'log'
    path.write_text(_LINES)
    assert _program.run(['trace', 'q', str(path)]) == 0
    printed = capsys.readouterr().out.splitlines()
    assert printed == [
        '   0.000 s h attempt_ended: worker=w',
        '   1.500 s g request_ended: outcome=x',
    ]


def test_unknown_request_is_reported(tmp_path, capsys):
    """Empty output would look like a request without problems."""
    path = tmp_path / 'log'
    path.write_text(_LINES)
    assert _program.run(['trace', 'missing', str(path)]) == 7
    assert 'missing' in capsys.readouterr().out
    assert _log_commands.read_lines(path, 'missing') == []
