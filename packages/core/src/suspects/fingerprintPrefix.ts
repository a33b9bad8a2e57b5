/** Distinguishes fingerprints of requests from ids of prompt parts, which are hexadecimal. */
export const fingerprintPrefix = 'request-';
