"""Why a bundle is refused."""


class BundleError(Exception):
    """A bundle that is refused.

    :param place: where in the bundle the fault is.
    :param detail: what is wrong there.

    .. versionadded:: 0.1
    """

    def __init__(self, place: str, detail: str) -> None:
        super().__init__(f"{place}: {detail}")
        self.place = place
        self.detail = detail
