"""Plans model loads on engines and builds memory groups of engines."""
