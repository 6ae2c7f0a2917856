"""The operator's configuration: reading, validation, patches, and the route table that results.

Used by both planes. Pure. A document that cannot be read completely is rejected with a message that says what to correct;
nothing is guessed.
"""
