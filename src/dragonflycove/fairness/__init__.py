"""Fair order between organisations; used by admission and by the fleet's placement queue."""
