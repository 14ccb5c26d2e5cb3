"""Operators' tokens, signed sessions, and CSRF tokens."""

import hashlib
import hmac
import secrets
import time

import attrs

from briarknot import schema

#: Lifetime of a session, the length of an operator's shift.
SESSION_LIFETIME_S = 8 * 3600

_NONCE_BYTES = 16
_KEY_PURPOSE = b'briarknot console session'
_COOKIE_PARTS = 3


@attrs.frozen
class Session:
    """Browser session, before or after sign-in.

    :param operator: name; empty before sign-in.
    :param expires_s: Unix time of the end, in whole seconds.
    :param nonce: random text that CSRF tokens are derived from.
    """

    operator: str
    expires_s: int
    nonce: str


@attrs.frozen
class Sessions:
    """Issues and verifies sessions.

    The signing key is derived from the secret that all hosts share, so that
    a session is valid at every console and no console stores sessions.
    """

    _key: bytes = attrs.field(repr=False)
    _token_hashes: dict[str, str] = attrs.field(repr=False)

    def find_operator(self, token: str) -> str:
        """Returns the name of the operator with a token, or ``''``.

        Every hash is compared in constant time, so that the duration
        reveals nothing about them.

        :param token: the operator's token.
        """
        token_hash = hashlib.sha256(token.encode()).hexdigest()
        found = ''
        for name, known in self._token_hashes.items():
            if hmac.compare_digest(known, token_hash):
                found = name
        return found

    def make_session(self, operator: str = '') -> Session:
        """Makes a session with a new nonce.

        :param operator: name; empty before sign-in.
        """
        expires_s = int(time.time()) + SESSION_LIFETIME_S
        return Session(operator, expires_s, secrets.token_hex(_NONCE_BYTES))

    def encode_cookie(self, session: Session) -> str:
        """Encodes a session as a signed cookie value."""
        text = f'{session.operator}.{session.expires_s}.{session.nonce}'
        return f'{text}.{self._sign(text, session.operator)}'

    def decode_cookie(self, cookie: str) -> Session | None:
        """Decodes and verifies a cookie; returns None where it is not valid.

        :param cookie: cookie value that a browser sent.
        """
        text, _, signature = cookie.rpartition('.')
        parts = text.rsplit('.', _COOKIE_PARTS - 1)
        if len(parts) != _COOKIE_PARTS:
            return None
        operator, expires_s, nonce = parts
        expected = self._sign(text, operator)
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            return None
        if operator and operator not in self._token_hashes:
            return None
        if int(expires_s) < time.time():
            return None
        return Session(operator, int(expires_s), nonce)

    def make_csrf_token(self, session: Session) -> str:
        """Returns the CSRF token of a session's forms."""
        return self._sign(f'csrf.{session.nonce}', session.operator)

    def check_csrf_token(self, session: Session, token: str) -> bool:
        """Returns whether a CSRF token belongs to a session."""
        expected = self.make_csrf_token(session)
        return hmac.compare_digest(expected.encode(), token.encode())

    def _sign(self, text: str, operator: str) -> str:
        # The token's hash is signed too, so that a replaced token invalidates
        # the sessions that it opened.
        token_hash = self._token_hashes.get(operator, '')
        message = f'{text}.{token_hash}'.encode()
        return hmac.digest(self._key, message, 'sha256').hex()


def make_sessions(settings: schema.settings.ConsoleSettings) -> Sessions:
    """Makes the issuer and verifier of a console's sessions.

    :param settings: operators, and the secret that the hosts share.
    """
    secret = settings.node.peer_secret.encode()
    return Sessions(
        hmac.digest(secret, _KEY_PURPOSE, 'sha256'),
        {one.name: one.token_hash for one in settings.operators},
    )
