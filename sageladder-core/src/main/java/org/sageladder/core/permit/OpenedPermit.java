package org.sageladder.core.permit;

/** The result of {@link PermitCodec#open}. */
public sealed interface OpenedPermit {
  /** The MAC is valid: an entry VM of the customer minted the permit. */
  record Valid(Permit permit) implements OpenedPermit {}

  /**
   * The permit is well-formed, but its key is not known here, so it cannot be verified.
   *
   * <p>The issuer has the key, so forward the permit to it. Refusing the permit here could report a
   * request as not run that another entry VM is running.
   */
  record UnknownKey(Permit unverifiedPermit, String keyId) implements OpenedPermit {}

  /** Malformed, or modified in transit. */
  record Invalid(String reason) implements OpenedPermit {}
}
