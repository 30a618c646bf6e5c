/** Rules for forwarded messages that do not depend on the HTTP library. */
@NullMarked
package org.sageladder.core.message;

import org.jspecify.annotations.NullMarked;
