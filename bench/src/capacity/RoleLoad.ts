/** One figure of a role at the design size. */
export interface RoleLoad {
  readonly figure: string;
  /** The measured cost that enters, as text. */
  readonly cost: string;
  /** How often or how many, as text. */
  readonly load: string;
  readonly resource: 'core' | 'memory' | 'network';
  /** Microseconds a second, bytes, or bytes a second. */
  readonly product: number;
  /** Whether it is control overhead; answers and what carries them are not. */
  readonly isControl: boolean;
}
