package org.sageladder.core.permit;

/**
 * The right to run one request at most once, given by the one incarnation that may run it.
 *
 * <p>Example: {@code new Permit("tallinn-a-1", 7, 4211, 1764702000000L, "kannelkoda", "donations",
 * "", "10.1.0.18:8080")}.
 *
 * @param issuer entry VM that minted the permit and alone may execute it
 * @param incarnation incarnation of the home; a later incarnation knows nothing of the permit
 * @param sequence position in the incarnation's own order, from 1
 * @param expiryMillis wall clock of the home after which the permit is never executed
 * @param binding digest of the idempotency key that the permit was minted for, or empty
 * @param issuerAddress callers' address of the home as HOST:PORT, or empty where it is not told
 */
public record Permit(
    String issuer,
    long incarnation,
    long sequence,
    long expiryMillis,
    String customer,
    String service,
    String binding,
    String issuerAddress) {

  /** The same permit, which also tells where its home takes requests. */
  public Permit withIssuerAddress(String issuerAddress) {
    return new Permit(
        issuer, incarnation, sequence, expiryMillis, customer, service, binding, issuerAddress);
  }
}
