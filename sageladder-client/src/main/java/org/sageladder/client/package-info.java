/**
 * For programs that call services through sageladder: look-ups, permits, retries, whole answers.
 */
@NullMarked
package org.sageladder.client;

import org.jspecify.annotations.NullMarked;
