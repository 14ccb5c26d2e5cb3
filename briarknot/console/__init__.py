"""Web forms and document API for operators."""

from briarknot.console._app import make_app
from briarknot.console._forms import Field, Form, make_form, parse_entries

__all__ = ('Field', 'Form', 'make_app', 'make_form', 'parse_entries')
