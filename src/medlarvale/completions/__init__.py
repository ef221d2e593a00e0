"""Execution of model requests on prefill and decode engines."""
