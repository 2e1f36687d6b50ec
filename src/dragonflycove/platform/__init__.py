"""Translation between the platform's wire formats and the project's types; decides nothing."""
