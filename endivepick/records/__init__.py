"""Service records: schemas, validation and conversion."""
