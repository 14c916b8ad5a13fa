"""What is known of targets, and what they ask of their callers."""
