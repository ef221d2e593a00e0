"""Commands for developers; the shipped program does not use them."""
