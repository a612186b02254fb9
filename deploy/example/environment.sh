# Source this file: it sets the server and the token of the operator tool.
export POMELOLINK_SERVER=127.0.0.1:7402
export POMELOLINK_TOKEN=operator-token
