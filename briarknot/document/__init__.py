"""Reads, checks, and compares settings and fleet documents."""

from briarknot import lazy

#: A gateway reads its settings only, and starts without the other modules.
_MODULES = {
    '_diff': ('Change', 'compare'),
    '_edit': ('edit_text',),
    '_findings': ('Finding', 'Position', 'sort_findings'),
    '_fleet_checks': ('CHECKS', 'FLEET_CHECKS'),
    '_reader': ('ReadResult', 'read_text'),
    '_writer': ('write_text',),
}
__all__ = lazy.list_names(_MODULES)
__getattr__ = lazy.make_getattr(__name__, _MODULES)
