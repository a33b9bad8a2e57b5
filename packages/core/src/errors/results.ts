import tsResults from 'ts-results';

/**
 * The constructors of `Result`. `ts-results` is a CommonJS package, so ES modules can access its
 * exports only through the default export. Only this module imports it at run time.
 */
export const { Ok, Err } = tsResults;
