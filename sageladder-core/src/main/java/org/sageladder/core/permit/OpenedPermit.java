package org.sageladder.core.permit;

/** What {@link PermitCodec#open} made of a permit's text. */
public sealed interface OpenedPermit {
  /** The MAC matches: some entry VM of the customer minted it. */
  record Valid(Permit permit) implements OpenedPermit {}

  /**
   * The permit reads well but names a key that is not known here, so nothing is proved.
   *
   * <p>Its home made it and knows the key, so pass it on there; refusing it here could call a
   * request not run that runs elsewhere.
   */
  record UnknownKey(Permit unverifiedPermit, String keyId) implements OpenedPermit {}

  /** Not a permit, or altered on its way. */
  record Invalid(String reason) implements OpenedPermit {}
}
