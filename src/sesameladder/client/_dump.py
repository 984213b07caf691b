"""``sesameladder dump``: print the state of an instance's process."""

import json
from dataclasses import dataclass
from typing import Annotated

import cappa

from sesameladder.client._context import Context
from sesameladder.client._errors import CommandFailed, InstanceUnreachable
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._options import CommonOptions
from sesameladder.settings import ClientInstance


@cappa.command(
    name="dump",
    help="Print the state of an entry instance.",
    description="Asks the instance's admin endpoint for its state. " + EXIT_CODE_HELP,
)
@dataclass
class DumpInstance(CommonOptions):
    """Print the state of an entry instance."""

    instance: Annotated[str, cappa.Arg(help="Instance id, as in the settings.")]

    def run(self, context: Context) -> ExitCode:
        """Print the dump as JSON."""
        instance_settings = _find_instance(context, self.instance)
        try:
            document = context.fetch(instance_settings.admin_address, "/-/dump")
        except InstanceUnreachable as error:
            raise CommandFailed(ExitCode.NOT_REACHED, str(error)) from error
        context.print_result([json.dumps(document, indent=2, sort_keys=True)], document)
        return ExitCode.DONE


def _find_instance(context: Context, instance: str) -> ClientInstance:
    for instance_settings in context.settings.instances:
        if instance_settings.instance == instance:
            return instance_settings
    names = ", ".join(row.instance for row in context.settings.instances) or "none"
    message = f"no instance {instance!r} in the settings; there are: {names}"
    raise CommandFailed(ExitCode.NOT_FOUND, message)
