"""Stand-ins and process control for the scripts of the review; standard library only.

They follow the users' pages: the object store, targets, clients, the routers, and the
settings file that the platform fills in from the deploy folder's template.
"""
