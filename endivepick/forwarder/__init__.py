"""The forwarder: a thin daemon around the forwarding core."""
