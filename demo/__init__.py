"""The main job on stand-ins, as a stranger first sees it."""
