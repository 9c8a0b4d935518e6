"""HTTP client of a daemon's interface for operators."""

from types import TracebackType
from typing import Any

import aiohttp

# Covers the 5 s limit of a change and an election among the control VMs.
REQUEST_TIMEOUT_S = 8.0


class OperatorError(Exception):
    """A daemon refused a request.

    Attributes
    ----------
    code : str
        Label of the refusal, such as ``LW2102``.
    """

    def __init__(self, code: str, message: str) -> None:
        self.code = code
        super().__init__(message)


class OperatorClient:
    """Sends an operator's requests to one daemon.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the listener for operators.
    """

    def __init__(self, address: str, token: str) -> None:
        self._base_url = f"http://{address}"
        self._session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {token}"},
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._session.close()

    async def get(self, path: str) -> Any:
        """Return the decoded JSON of a page."""
        async with self._session.get(self._base_url + path) as response:
            return await self._decode(response)

    async def get_text(self, path: str) -> str:
        """Return the text of a page."""
        async with self._session.get(self._base_url + path) as response:
            if response.status != 200:
                await self._decode(response)
            return await response.text()

    async def post(self, path: str, body: dict[str, Any]) -> Any:
        """Post a JSON body and return the decoded JSON answer."""
        async with self._session.post(self._base_url + path, json=body) as response:
            return await self._decode(response)

    async def delete(self, path: str) -> Any:
        """Send a DELETE request and return the decoded JSON answer."""
        async with self._session.delete(self._base_url + path) as response:
            return await self._decode(response)

    async def change(self, command: dict[str, Any], **fields: Any) -> Any:
        """Propose a change; with a ``request_id`` it may safely be sent again."""
        return await self.post("/changes", {"command": command, **fields})

    async def _decode(self, response: aiohttp.ClientResponse) -> Any:
        body = await response.json()
        if response.status != 200:
            raise OperatorError(body.get("code", ""), body.get("error", ""))
        return body
