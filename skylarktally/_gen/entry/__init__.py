__all__ = ['ttypes', 'constants', 'Entry']
