/** A token of HTTP: the characters that a header name may have. */
const TOKEN_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/**
 * Returns whether all header names of a message are tokens. The HTTP parser of some Node releases
 * accepts a space before the colon, and then forwarding the header throws an error.
 *
 * @param rawHeaders alternating names and values
 */
export function hasValidHeaderNames(rawHeaders: readonly string[]): boolean {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!TOKEN_PATTERN.test(rawHeaders[index] as string)) return false;
  }
  return true;
}
