/** What happens to a request: checks, permit, gate, dispatch, answer. */
@NullMarked
package org.sageladder.entry.request;

import org.jspecify.annotations.NullMarked;
