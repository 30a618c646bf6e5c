/**
 * Client library for calling services through sageladder: look-ups, permits, retries and complete
 * responses.
 */
@NullMarked
package org.sageladder.client;

import org.jspecify.annotations.NullMarked;
