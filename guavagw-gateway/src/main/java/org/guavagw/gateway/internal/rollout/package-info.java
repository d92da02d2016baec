/** Which versions of a service may take a request, and how a rollout is judged. */
package org.guavagw.gateway.internal.rollout;
