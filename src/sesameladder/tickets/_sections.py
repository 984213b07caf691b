"""The sections of a ticket, with conversion between JSON rows and model objects."""

from dataclasses import dataclass, fields
from typing import Any

from sesameladder.model import (
    AvailabilityBudget,
    MaintenanceWave,
    Pool,
    Team,
    VirtualMachine,
)
from sesameladder.tickets._rows import BudgetRow, PoolRow, TeamRow, VmRow, WaveRow


@dataclass(frozen=True, slots=True)
class Section:
    """One kind of object that a ticket can change, such as pools."""

    name: str
    """Key in the ticket's JSON and attribute of ``Ticket``."""

    state_attribute: str
    """Attribute of ``FleetState`` that holds the objects."""

    row: type
    """Type of an object's JSON, which doesn't contain its name."""

    model: type
    """Class of the object in the fleet model."""

    key_field: str
    """Field of the model that holds the object's name."""

    row_fields: tuple[str, ...]
    """Fields of the row; the model has fields of the same names."""

    def build_object(self, name: str, row: Any) -> Any:
        """Return the model object of a row."""
        values = {field: getattr(row, field) for field in self.row_fields}
        return self.model(**{self.key_field: name}, **values)

    def build_objects(self, rows: dict[str, Any]) -> dict[str, Any]:
        """Return the model objects of rows by name; None stands for a removal."""
        return {
            name: None if row is None else self.build_object(name, row)
            for name, row in rows.items()
        }

    def encode_objects(self, objects: dict[str, Any]) -> dict[str, Any]:
        """Return the JSON objects of model objects by name."""
        return {
            name: None if item is None else self.encode_object(item)
            for name, item in objects.items()
        }

    def encode_object(self, item: Any) -> dict[str, Any]:
        """Return the JSON object of one model object."""
        return {field: getattr(item, field) for field in self.row_fields}


def _define_section(
    name: str, state_attribute: str, row: type, model: type, key_field: str
) -> Section:
    row_fields = tuple(field.name for field in fields(row))
    return Section(name, state_attribute, row, model, key_field, row_fields)


SECTIONS = (
    _define_section("pools", "pools", PoolRow, Pool, "name"),
    _define_section("vms", "vms", VmRow, VirtualMachine, "name"),
    _define_section("budgets", "budgets", BudgetRow, AvailabilityBudget, "pool"),
    _define_section("teams", "teams", TeamRow, Team, "name"),
    _define_section("maintenance", "waves", WaveRow, MaintenanceWave, "id"),
)
