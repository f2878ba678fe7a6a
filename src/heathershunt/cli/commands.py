"""Commands and their arguments, as fire reads them from these signatures."""

from fire.decorators import SetParseFn

from heathershunt.cli import bundles, explain, fleet, keys, where
from heathershunt.cli.context import Context


class BundleCommands:
    """Create, check, sign, approve, roll, show and compare bundles."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @SetParseFn(str)
    def create(self, file: str, out: str, previous: str = "") -> None:
        """Create an unsigned bundle file from a TOML description.

        Args:
            file: TOML description; its version defaults to the previous one plus 1.
            out: bundle file to write.
            previous: file or root hash of the previous bundle, or "none" for the
                first bundle; by default the bundle in force at the daemons.
        """
        context = self._context
        context.defer(lambda: bundles.create_bundle(context, file, out, previous))

    @SetParseFn(str)
    def check(self, file: str, trusted: str = "") -> None:
        """Check a bundle file as the VMs do.

        Args:
            file: bundle file.
            trusted: public keys, separated by commas; if given, their signatures and
                approvals must satisfy the policy of the bundle.
        """
        self._context.defer(lambda: bundles.check_bundle_file(file, trusted))

    @SetParseFn(str)
    def sign(self, file: str, key: str) -> None:
        """Sign a bundle file in place.

        Args:
            file: bundle file.
            key: file with the private key.
        """
        self._context.defer(lambda: bundles.add_signature(file, key, approve=False))

    @SetParseFn(str)
    def approve(self, file: str, key: str) -> None:
        """Approve a bundle file in place, with a key that has not signed it.

        Args:
            file: bundle file.
            key: file with the private key.
        """
        self._context.defer(lambda: bundles.add_signature(file, key, approve=True))

    @SetParseFn(str)
    def roll(self, file: str) -> None:
        """Roll out a bundle through a daemon.

        Args:
            file: signed and approved bundle file.
        """
        context = self._context
        context.defer(lambda: bundles.roll_bundle(context, file))

    @SetParseFn(str)
    def show(self, file: str = "") -> None:
        """Show what a bundle contains and which keys signed it.

        Args:
            file: bundle file; by default the bundle in force.
        """
        context = self._context
        context.defer(lambda: bundles.show_bundle(context, file))

    @SetParseFn(str)
    def diff(self, new: str, old: str = "") -> None:
        """Show what a bundle changes.

        Args:
            new: bundle file.
            old: bundle file to compare with; by default the bundle in force.
        """
        context = self._context
        context.defer(lambda: bundles.diff_bundle(context, new, old))


class VmCommands:
    """Drain VMs and admit them again."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @SetParseFn(str)
    def drain(self, vm: str) -> None:
        """Drain a VM: it refuses new work and finishes requests in flight.

        Args:
            vm: name of the VM.
        """
        context = self._context
        context.defer(lambda: fleet.change_vm(context, vm, "drain", "leaving"))

    @SetParseFn(str)
    def admit(self, vm: str) -> None:
        """Admit a drained VM again, so that it takes new work.

        Args:
            vm: name of the VM.
        """
        context = self._context
        context.defer(lambda: fleet.change_vm(context, vm, "admit", "live"))


class KeyCommands:
    """Generate signing keys and bearer tokens."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @SetParseFn(str)
    def new(self, out: str) -> None:
        """Generate an Ed25519 key pair and print the public key.

        Args:
            out: file for the private key, readable by its owner only.
        """
        self._context.defer(lambda: keys.new_key(out))

    @SetParseFn(str)
    def token(self, out: str = "") -> None:
        """Generate a bearer token for a client account, or an operator key.

        Args:
            out: file for the token; by default the token is printed with its hash.
        """
        self._context.defer(lambda: keys.new_token(out))


class Commands:
    """Operate a heathershunt deployment.

    --config FILE sets the configuration file, by default $HEATHERSHUNT_CONFIG or
    heathershunt.toml. --json prints JSON instead of tables.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.bundle = BundleCommands(context)
        self.vm = VmCommands(context)
        self.keys = KeyCommands(context)

    @SetParseFn(str)
    def status(self) -> None:
        """Show VMs, pipelines, runners and leases."""
        context = self._context
        context.defer(lambda: fleet.show_status(context))

    @SetParseFn(str)
    def explain(self, request: str, logs: str = "-") -> None:
        """Explain what happened to a request, from the logs of gateways.

        Args:
            request: id of the request.
            logs: log files of all VMs, separated by commas; "-" is standard input.
        """
        self._context.defer(lambda: explain.explain_from_logs(request, logs))

    @SetParseFn(str)
    def where(
        self,
        vm: str,
        host: str,
        path: str,
        method: str = "",
        key_file: str = "",
        prompt_tokens: str = "",
        max_tokens: str = "",
    ) -> None:
        """Show where a request would go now and why, without sending it.

        Args:
            vm: metrics listener of a gateway, as ip:port.
            host: host that the request names.
            path: path of the request.
            method: method of the request, GET by default.
            key_file: file with the API key of the request.
            prompt_tokens: length of the prompt of a stream in tokens, 0 by default.
            max_tokens: limit of the tokens of its answer, 0 by default for none.
        """
        fields = {
            "host": host,
            "path": path,
            "method": method,
            "prompt_tokens": prompt_tokens,
            "max_tokens": max_tokens,
        }
        self._context.defer(lambda: where.show_where(vm, fields, key_file))

    @SetParseFn(str)
    def timeline(
        self,
        request: str = "",
        vm: str = "",
        kind: str = "",
        limit: str = "",
        explain: str = "",
    ) -> None:
        """Show the events of all daemons in causal order.

        Args:
            request: only events of this request.
            vm: only events of this VM.
            kind: only events of this kind.
            limit: number of latest events of each VM, 2000 by default.
            explain: explain in sentences what happened to the request.
        """
        context = self._context
        query = {"request": request, "vm": vm, "kind": kind, "limit": limit}
        context.defer(lambda: fleet.show_timeline(context, query, bool(explain)))
