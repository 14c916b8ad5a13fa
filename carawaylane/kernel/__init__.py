"""Registry of services, mailboxes and their lifecycle."""
