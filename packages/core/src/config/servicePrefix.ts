/** Prefix of the store keys of all service documents. */
export const servicePrefix = 'limpetbay/services/';
