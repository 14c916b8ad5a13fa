"""Who is admitted: slots, queues, retry budgets, quarantine."""
